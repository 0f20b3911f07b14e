/** Places a queued job on accelerators. Refuses an accelerator that is already allocated. */
import type { PlacementMember } from '@nettlespur/api.schemas'
import type { Assignment, CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob } from './jobChange.js'
import type { StateData } from './stateData.js'

export function placeJob(
  data: StateData,
  index: number,
  command: CommandOf<'job.place'>,
): CommandResult {
  const job = data.jobs.get(command.jobId)
  if (job === undefined) return refuse('unknown-job', `${command.jobId} is not among the live jobs`)
  if (job.state !== 'queued') return refuse('internal', `${job.jobId} is ${job.state}, not queued`)
  const evacuated = findEvacuated(data, command.assignments)
  if (evacuated !== undefined)
    return refuse('no-upstream', `${job.jobId}: ${evacuated} has been evacuated meanwhile`)
  const fault = findAssignmentError(data, command.assignments, job.request.gang.accelerators)
  if (fault !== undefined) return refuse('internal', `${job.jobId}: ${fault}`)
  const attempt = job.attempts + 1
  const members = command.assignments.map((assignment, rank): PlacementMember => {
    return { ...assignment, taskId: `${job.jobId}.${attempt}.${rank}` }
  })
  return changeJob(data, job, {
    at: command.at,
    event: 'placement.decided',
    reason: command.reason,
    state: 'reserving',
    fields: {
      attempts: attempt,
      placement: { fence: index, attempt, members },
      retryAt: undefined,
      startCommitted: false,
    },
  })
}

/** Returns the data centre of an assignment that is evacuated, if there is one. */
export function findEvacuated(
  { evacuations }: StateData,
  members: readonly Pick<Assignment, 'dataCentre'>[],
): string | undefined {
  const dataCentres = members.flatMap(({ dataCentre }) => dataCentre ?? [])
  return dataCentres.find((dataCentre) => evacuations.isInForce(dataCentre))
}

function findAssignmentError(
  data: StateData,
  assignments: readonly Assignment[],
  accelerators: number,
): string | undefined {
  const held = collectHeldAccelerators(data)
  let count = 0
  for (const { upstreamId, acceleratorIndexes } of assignments) {
    for (const acceleratorIndex of acceleratorIndexes) {
      const name = formatAcceleratorId(upstreamId, acceleratorIndex)
      if (held.has(name)) return `accelerator ${name} is already allocated`
      held.add(name)
      count += 1
    }
  }
  if (count === accelerators) return undefined
  return `${count} accelerators assigned to a gang of ${accelerators}`
}

function collectHeldAccelerators(data: StateData): Set<string> {
  const held = new Set<string>()
  for (const { placement } of data.jobs.values()) {
    for (const member of placement?.members ?? []) {
      for (const acceleratorIndex of member.acceleratorIndexes) {
        held.add(formatAcceleratorId(member.upstreamId, acceleratorIndex))
      }
    }
  }
  return held
}

function formatAcceleratorId(upstreamId: string, acceleratorIndex: number): string {
  return `${upstreamId}/${acceleratorIndex}`
}
