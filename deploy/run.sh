#!/bin/sh
# One real router, with a heap that fits the memory that the configuration allows. The heap has its full size
# from the start and is touched at once: a heap that widens by and by looks like a leak and hides one.
# Only what the shell itself can do: where the platform lets a router be no more than one process, it cannot
# start another program to read its configuration.
# The file is cut at commas and braces first: to strip a prefix from a long line takes the square of its length.
memory=
set -f
while [ -z "$memory" ] && { IFS= read -r line || [ -n "$line" ]; }; do
    IFS=,{}
    for part in $line; do
        case $part in
            *'"memory_mb"'*)
                memory=${part#*'"memory_mb"'}
                while case $memory in [!0-9]*) ;; *) false ;; esac; do memory=${memory#?}; done
                memory=${memory%%[!0-9]*}
                break
                ;;
        esac
    done
    unset IFS
done 2> /dev/null < "${PROXY_CONFIG:-/dev/null}"
set +f
# Where the listening socket is inherited two processes of one router may run: each keeps to half.
memory=${memory:-192}
[ -z "$PROXY_FD" ] || memory=$((memory / 2))
heap=$((memory * 3 / 10))
[ "$heap" -le 64 ] || heap=64
[ "$heap" -ge 16 ] || heap=16
# Few arenas: else each thread's small allocations outside the heap spread over memory that is never given back.
export MALLOC_ARENA_MAX=1
archive=
[ ! -f target/beaconturn.jsa ] || archive=-XX:SharedArchiveFile=target/beaconturn.jsa
# shellcheck disable=SC2086
exec java $archive -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -Xss256k -XX:StackShadowPages=10 \
    -Xms${heap}m -Xmx${heap}m -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=24m \
    -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -Djdk.nio.maxCachedBufferSize=8192 \
    -XX:-UsePerfData -Djava.net.preferIPv4Stack=true -jar target/beaconturn.jar serve
