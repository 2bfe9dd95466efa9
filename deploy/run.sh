#!/bin/sh
# Starts one router with a heap sized by the configuration's memory limit. The heap is allocated and touched in full
# at the start: a growing heap looks like a memory leak and hides one.
# Shell built-ins only: the platform may limit a router to one process, so no other program can read the configuration.
# The file is split at commas and braces first: stripping a prefix from a long line takes quadratic time.
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
# With an inherited listening socket two processes of a router may run at once: each gets half of the memory.
memory=${memory:-192}
[ -z "$PROXY_FD" ] || memory=$((memory / 2))
heap=$((memory * 3 / 10))
[ "$heap" -le 64 ] || heap=64
[ "$heap" -ge 16 ] || heap=16
# One malloc arena: with one for each thread, native memory is fragmented and never returned.
export MALLOC_ARENA_MAX=1
archive=
[ ! -f target/beaconturn.jsa ] || archive=-XX:SharedArchiveFile=target/beaconturn.jsa
# The kind of machine is told by the loader of C programs, without another program. Where both loaders are installed it
# is unknown, and the options that only x86-64 accepts are left out.
machine=
[ ! -e /lib64/ld-linux-x86-64.so.2 ] || [ -e /lib/ld-linux-aarch64.so.1 ] || machine=@deploy/jvm-x86_64.options
# shellcheck disable=SC2086
exec java $archive @deploy/jvm.options $machine -Xms${heap}m -Xmx${heap}m -XX:+AlwaysPreTouch \
    -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -Djava.net.preferIPv4Stack=true \
    -jar target/beaconturn.jar serve
