/**
 * Checks that a group recovers after its faults have ended: within a bound, all members name the same leader and each
 * read is answered, and both stay so.
 */
import type { ControlGroup } from './controlGroup.js'

/** A round may have no winner, as several members stand at once or hear a former leader's last message. */
const electionRounds = 3

/** How long an entry waits for a call to the leader. */
const readTimeoutMs = 700
const pollEveryMs = 50
const observationMs = 30_000
const burstReads = 150
const readsPerCheck = 3

export interface RecoveryOutcome {
  /** Until all members named the leader and it answered a read; undefined if that took longer than `readyMs`. */
  readonly readyAfterMs: number | undefined
}

/** At most 6.5 s, half of what the platform allows between its last fault and the first query. */
function computeReadyMs({ timings }: ControlGroup): number {
  const { electionTimeoutMs } = timings.raft
  // The longest election timeout of a follower, and the longest time for which a candidate waits for votes.
  const electionRoundMs = electionTimeoutMs * 1.5 + electionTimeoutMs
  // A new leader whose first read has failed repeats it after half a second.
  const firstReadRetryMs = electionTimeoutMs + 500
  return electionRounds * electionRoundMs + firstReadRetryMs
}

/** Call this when the faults have just ended. Adds what fails to the group's violations. */
export async function checkRecovery(group: ControlGroup): Promise<RecoveryOutcome> {
  const startMs = group.clock.monotonicMs()
  const readyMs = computeReadyMs(group)
  const elapsedMs = (): number => group.clock.monotonicMs() - startMs
  let readyAfterMs: number | undefined
  while (readyAfterMs === undefined && elapsedMs() < readyMs) {
    await group.clock.advance(pollEveryMs)
    if (listDisagreeing(group).length > 0) continue
    const agreedAfterMs = elapsedMs()
    if ((await readRandomJobs(group, 1)).length === 0) readyAfterMs = agreedAfterMs
  }
  if (readyAfterMs === undefined) {
    group.violations.push(`not ready ${readyMs} ms after the last fault`)
    return { readyAfterMs }
  }
  await group.clock.advance(Math.max(0, readyMs - elapsedMs()))
  await checkOnce(group, burstReads)
  const endMs = elapsedMs() + observationMs
  while (elapsedMs() < endMs && group.violations.length === 0) await checkOnce(group, readsPerCheck)
  group.stopSubmitting()
  await checkAcceptedJobs(group)
  return { readyAfterMs }
}

async function checkOnce(group: ControlGroup, readCount: number): Promise<void> {
  group.violations.push(...listDisagreeing(group), ...(await readRandomJobs(group, readCount)))
}

/** Describes each member that does not name the leader of the highest term. */
function listDisagreeing({ leader, liveMembers }: ControlGroup): string[] {
  const term = Math.max(...liveMembers.map(({ node }) => node?.raft.describe().term ?? 0))
  const address = leader?.member.peerAddress
  if (address === undefined) return ['no member leads']
  return liveMembers.flatMap(({ member, node }) => {
    const view = node?.locateLeader()
    const agrees = view?.leaderAddress === address && view.term === term
    return agrees ? [] : [`${member.memberId} names ${JSON.stringify(view)}, not ${address}`]
  })
}

/** Reads accepted jobs drawn at random; describes each read that was not answered in time. */
async function readRandomJobs(group: ControlGroup, count: number): Promise<string[]> {
  const { acceptedJobIds, random } = group
  const jobIds = Array.from(
    { length: count },
    () => acceptedJobIds[Math.floor(random() * acceptedJobIds.length)] ?? '',
  )
  return readJobs(group, jobIds)
}

async function checkAcceptedJobs(group: ControlGroup): Promise<void> {
  const violations = await readJobs(group, group.acceptedJobIds)
  group.violations.push(...violations.slice(0, 3))
}

async function readJobs(group: ControlGroup, jobIds: readonly string[]): Promise<string[]> {
  const waiting = new Map(jobIds.map((jobId) => [jobId, 'no answer']))
  const node = group.leader?.node
  for (const jobId of waiting.keys()) {
    void node?.calls
      .getJobState(group.createJobCall(jobId))
      .run()
      .then((outcome) => {
        if (outcome.isRight()) waiting.delete(jobId)
        else waiting.set(jobId, String(outcome.extract()))
      })
  }
  await group.clock.advance(readTimeoutMs)
  return [...waiting].map(([jobId, reason]) => `${jobId}: ${reason}`)
}
