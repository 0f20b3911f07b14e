/**
 * Names one process of an upstream. Processes that do not state when they started have an id of their own each. The
 * others may have the id of an earlier process: the time of the start tells them apart. It is no order of them, as wall
 * clocks step.
 */
export function createProcessId(announcedId: string, bornMs: number | undefined): string {
  return bornMs === undefined ? announcedId : `${announcedId}@${bornMs}`
}
