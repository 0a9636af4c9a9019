// The parts of the project's own stand-ins that the scripts use. `review/build-2.sh` bundles them.
export { StoreStandin } from '../../platform/src/standins/store-standin.ts'
export { VmPaths } from '../../platform/src/soak/vm-paths.ts'
