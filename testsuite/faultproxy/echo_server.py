"""Echoes TCP streams and UDP datagrams; writes its two ports to the file that is named as argument."""
import os
import socket
import sys
import threading


def serve_udp(udp):
    while True:
        data, client = udp.recvfrom(65536)
        udp.sendto(data, client)


def serve_stream(stream):
    with stream:
        while data := stream.recv(65536):
            stream.sendall(data)


udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
udp.bind(("127.0.0.1", 0))
tcp = socket.create_server(("127.0.0.1", 0))
threading.Thread(target=serve_udp, args=(udp,), daemon=True).start()
with open(sys.argv[1] + ".new", "w") as file:
    file.write(f"{tcp.getsockname()[1]} {udp.getsockname()[1]}\n")
os.rename(sys.argv[1] + ".new", sys.argv[1])
while True:
    stream, _ = tcp.accept()
    threading.Thread(target=serve_stream, args=(stream,), daemon=True).start()
