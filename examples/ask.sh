#!/usr/bin/env bash
# One request to a router, without any client library: ask.sh get KEY, ask.sh put KEY VALUE, ask.sh ping.
# ROUTER names the address; 127.0.0.1:6379 where it is not set.
set -euo pipefail

router=${ROUTER:-127.0.0.1:6379}
id=$(printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM)
case "${1:-}" in
    get) words=(C.GET "$2" "$id" "c=read,d=800") ;;
    put) words=(C.SET "$2" "$id" "c=put,d=1500,k=$id" "$3") ;;
    ping) words=(PING) ;;
    *) echo "usage: ask.sh get KEY | put KEY VALUE | ping" >&2; exit 2 ;;
esac

exec 3<> "/dev/tcp/${router%:*}/${router##*:}"
{
    printf '*%d\r\n' "${#words[@]}"
    for word in "${words[@]}"; do
        printf '$%d\r\n%s\r\n' "${#word}" "$word"
    done
} >&3
IFS= read -r first <&3
echo "${first%$'\r'}"
if [[ $first == '$'* ]]; then
    IFS= read -r value <&3
    echo "${value%$'\r'}"
fi
