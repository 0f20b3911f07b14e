/** Creates a gang step whose tasks need the given number of accelerators each. */
export function createGang(taskCount: number, accelerators: number, more = {}) {
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators }
  return { taskCount, needs, isGang: true, ...more }
}
