# Sourced by the build scripts: makes ccache use paths relative to the repository, so that all clones share objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
