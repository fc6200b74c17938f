# Sourced by the build scripts: objects in the compiler cache serve every clone of the repository.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
