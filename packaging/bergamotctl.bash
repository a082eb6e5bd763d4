# Bash completion of bergamotctl, printed by "bergamotctl completion-script".
_bergamotctl() {
    local current=${COMP_WORDS[COMP_CWORD]} words=()
    local i
    for ((i = 1; i < COMP_CWORD; ++i)); do
        [[ ${COMP_WORDS[i]} == -* ]] || words+=("${COMP_WORDS[i]}")
    done
    local offer=
    case ${#words[@]}:${words[0]} in
    0:*) offer="service backend target datacentre evacuation host control status dump history watch check explain timeline where manifest runbook request settings-page result-codes-page completion-script command-names" ;;
    1:backend) offer="list drain ready weight maintenance remove" ;;
    1:control) offer="status add promote remove replace" ;;
    1:datacentre) offer="stop start" ;;
    1:evacuation) offer="start end list" ;;
    1:host) offer="list drain ready leave" ;;
    1:manifest) offer="diff apply" ;;
    1:request) offer="show" ;;
    1:runbook) offer="run" ;;
    1:service) offer="add edit move remove list" ;;
    1:target) offer="capacity" ;;
    esac
    if [[ $current == -* ]]; then
        case "${words[0]} ${words[1]}" in
        "service add") offer="--address --ports --protocol --allowed-networks --data-centres --max-new-flows --max-open-flows --drain-deadline --udp-idle --probe-idle --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "service edit") offer="--address --ports --protocol --allowed-networks --data-centres --max-new-flows --max-open-flows --drain-deadline --udp-idle --probe-idle --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "service move") offer="--address --data-centres --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "control add") offer="--identity --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "control replace") offer="--identity --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "history ") offer="--since --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "watch ") offer="--since --count --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "explain ") offer="--flow --target --document --from --until --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "timeline ") offer="--from --until --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        "runbook run") offer="--restart --settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        *) offer="--settings --control --entry --token-file --format --request-id --expect-revision --wait --wait-seconds --timeout-ms --force --dry-run" ;;
        esac
    fi
    COMPREPLY=()
    while IFS= read -r i; do COMPREPLY+=("$i"); done < <(compgen -W "$offer" -- "$current")
}
complete -o default -F _bergamotctl bergamotctl
