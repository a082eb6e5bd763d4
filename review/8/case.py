"""A control host is replaced, its successor first and in another zone, and another control host loses its disk."""
import os
import pathlib
import shutil
import sys
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import small_site_2 as deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_S, RECOVER_S, MARGIN_S, DOWN_S, WATCHED_S = 4.0, 12.0, 0.5, 0.3, 30.0


def kill(machine):
    machine.wanted = False
    machine.process.kill()
    machine.process.wait()
    machine.site.record.write(f"killed {machine.name}")


def lose_disk(machine):
    kill(machine)
    folder = pathlib.Path(machine.settings["data_folder"])
    shutil.rmtree(folder)
    folder.mkdir()
    machine.site.record.write(f"{machine.name} has lost its disk")
    time.sleep(DOWN_S)
    machine.start()


def add_successor(site, zone):
    folder = site.folder / "control-3"
    folder.mkdir()
    ip = f"{site.net}.30"
    settings = site.controls[0].settings | {
        "host": "control-3", "data_centre": zone, "address": ip, "operator_listen": f"{ip}:{deployment.CONTROL_PORT}",
        "data_folder": str(folder), "bootstrap": False}
    successor = deployment.Machine(site, "control-3", "bergamot-directory", settings)
    successor.start()
    site.controls.append(successor)


def put(site, version, within):
    routes = [("r-1", f"{site.net}.250", 8080, "safe", 3000, "service-1")]
    return site.operate("PUT", "/v1/config", deployment.document(version, routes, ["service-1"]), within)[0]


def main():
    site = deployment.Site(pathlib.Path(__file__).parent, controls=3, entries=1)
    try:
        site.start()
        if put(site, 1, 10.0) != 200:
            return 2
        time.sleep(CATCH_UP_S + 2)
        keeps, loses_disk, removed = site.controls[:3]
        add_successor(site, keeps.settings["data_centre"])
        time.sleep(CATCH_UP_S + MARGIN_S)
        if put(site, 2, 3.0) != 200:
            return 2
        if TROUBLE:
            kill(removed)
            site.controls.remove(removed)
            time.sleep(MARGIN_S)
            lose_disk(loses_disk)
        end, answer = time.monotonic() + WATCHED_S, ""
        while not answer and time.monotonic() < end:
            status, body = site.operate("GET", "/v1/config", within=end - time.monotonic())
            answer = body.decode() if status == 200 else ""
        held = '"Version": 2,' in answer
        site.record.write(f"version 2 was acknowledged; read back within {WATCHED_S:.0f} s: {'yes' if held else 'no'}")
        site.record.write(f"a further change is {'' if put(site, 3, 5.0) == 200 else 'not '}acknowledged")
        site.record.write("CONFIG: held" if held else "CONFIG: broken")
        return 0 if held else 1
    finally:
        site.stop()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except SystemExit:
        raise
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
