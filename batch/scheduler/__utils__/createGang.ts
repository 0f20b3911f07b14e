/** A step whose tasks run together, each on the accelerators given. */
export function createGang(taskCount: number, accelerators: number, more = {}) {
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators }
  return { taskCount, needs, isGang: true, ...more }
}
