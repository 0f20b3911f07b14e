/** A compact description of a step, for log lines. */
import type { StepSpec } from '@nettlespur/batch.model'

/** Such as `5x13000m/68000MiB/8;8500ms;gang;rack`: task count, resources of each, run time, and constraints. */
export function describeStep(step: StepSpec): string {
  const { taskCount, needs, expectedRunTimeMs } = step
  const size = `${needs.cpuMillicores}m/${needs.memoryMiB}MiB/${needs.accelerators}`
  const flags = [
    ...(step.isGang ? ['gang'] : []),
    ...(step.prefersOneRack ? ['rack'] : []),
    ...(step.checkpoints ? ['checkpoints'] : []),
    ...(step.requiredLabel === undefined ? [] : [`label=${step.requiredLabel}`]),
    ...(step.dataRack === undefined ? [] : [`data=${step.dataRack}`]),
    ...(step.tasksPerUpstreamMax === undefined ? [] : [`apart=${step.tasksPerUpstreamMax}`]),
    ...(step.dependsOn.length === 0 ? [] : [`after=${step.dependsOn.join('+')}`]),
  ]
  return [`${taskCount}x${size}`, `${expectedRunTimeMs}ms`, ...flags].join(';')
}
