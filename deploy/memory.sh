# Sourced by the run command before it starts the JVM: sets LEMONRAIL_MEMORY_FLAGS from limits.memory_mb of the file that
# GW_CONFIG names. It uses only what the shell itself can do, because the platform refuses to start other processes.
# The sum is explained in docs/design/memory.md.

# What the process occupies apart from the heap and direct buffers, in MB: code, classes, compiler, stacks, allocator.
process_mb=58
default_memory_mb=192
min_heap_mb=16
# A process alone may have this heap although two of them would not fit.
single_heap_mb=28

# Sets clamped to $1, but at least $2 and at most $3.
clamp() {
    clamped=$1
    [ "$clamped" -ge "$2" ] || clamped=$2
    [ "$clamped" -le "$3" ] || clamped=$3
}

# Sets memory_mb to the whole part of the number behind "memory_mb": in the configuration, or to the default.
read_memory_limit() {
    memory_mb=
    configuration=${GW_CONFIG:-}
    [ -r "$configuration" ] || configuration=/dev/null
    while [ -z "$memory_mb" ] && { IFS= read -r line || [ -n "$line" ]; }; do
        case $line in
            *'"memory_mb"'*)
                line=${line#*'"memory_mb"'}
                line=${line#*:}
                line=${line#"${line%%[! 	]*}"}
                memory_mb=${line%%[!0-9]*}
                ;;
        esac
    done < "$configuration"
    [ -n "$memory_mb" ] && [ "${#memory_mb}" -le 7 ] || memory_mb=$default_memory_mb
}

read_memory_limit
clamp $((memory_mb / 8)) 8 24
direct_mb=$clamped

# Two processes share the limit during an upgrade. Where that leaves too little, one process gets what fits.
clamp $((memory_mb / 2 - process_mb - direct_mb)) $single_heap_mb $((64 + memory_mb / 8))
shared_heap_mb=$clamped
clamp $((memory_mb - process_mb - direct_mb - memory_mb / 16)) $min_heap_mb $shared_heap_mb
heap_mb=$clamped
clamp $((heap_mb / 4)) 4 8
young_mb=$clamped

LEMONRAIL_MEMORY_FLAGS="-Xmx${heap_mb}m -Xmn${young_mb}m -XX:MaxDirectMemorySize=${direct_mb}m"
