/**
 * What a group owes once all is calm: a leader that all members name, and an answer to each read, soon and
 * from then on.
 */
import { groupTimings, type ControlGroup } from './controlGroup.js'

const { electionTimeoutMs } = groupTimings.raft
/** The longest silence before a member stands, and the longest it then waits for votes. */
const roundMs = electionTimeoutMs * 1.5 + electionTimeoutMs
/** Rounds in which nobody wins, as several stand at once or hear an old leader's last message. */
const rounds = 3
/** A leader whose first read failed reads again after half a second. */
const retryMs = electionTimeoutMs + 500
/** All in all 6.5 s, half of what the platform gives from its last fault to its first question. */
export const readyMs = rounds * roundMs + retryMs

/** What an entry waits for a call to the leader. */
const answerMs = 700
const lookEveryMs = 50
const staysMs = 30_000
const burstReads = 150
const readsEach = 3

export interface CalmOutcome {
  /** Until all members named the leader and it answered a read. */
  readonly readyAfterMs: number | undefined
}

/** To be called when the troubles have just ended; faults go to the group's list. */
export async function checkCalm(group: ControlGroup): Promise<CalmOutcome> {
  const startMs = group.clock.monotonicMs()
  const passedMs = (): number => group.clock.monotonicMs() - startMs
  let readyAfterMs: number | undefined
  while (readyAfterMs === undefined && passedMs() < readyMs) {
    await group.clock.advance(lookEveryMs)
    if (listDisagreeing(group).length > 0) continue
    const lookedMs = passedMs()
    if ((await read(group, 1)).length === 0) readyAfterMs = lookedMs
  }
  if (readyAfterMs === undefined) {
    group.faults.push(`not ready ${readyMs} ms after the last trouble`)
    return { readyAfterMs }
  }
  await group.clock.advance(Math.max(0, readyMs - passedMs()))
  await checkOnce(group, burstReads)
  const endMs = passedMs() + staysMs
  while (passedMs() < endMs && group.faults.length === 0) await checkOnce(group, readsEach)
  group.stopSubmitting()
  await checkAccepted(group)
  return { readyAfterMs }
}

async function checkOnce(group: ControlGroup, reads: number): Promise<void> {
  group.faults.push(...listDisagreeing(group), ...(await read(group, reads)))
}

/** Members that do not name the leader of the highest term. */
function listDisagreeing({ leader, live }: ControlGroup): string[] {
  const term = Math.max(...live.map(({ node }) => node?.raft.describe().term ?? 0))
  const address = leader?.member.peerAddress
  if (address === undefined) return ['nobody leads']
  return live.flatMap(({ member, node }) => {
    const view = node?.locateLeader()
    const agrees = view?.leaderAddress === address && view.term === term
    return agrees ? [] : [`${member.memberId} names ${JSON.stringify(view)}, not ${address}`]
  })
}

/** Reads that were not answered in time. */
async function read(group: ControlGroup, count: number): Promise<string[]> {
  const { accepted, random } = group
  const jobIds = Array.from(
    { length: count },
    () => accepted[Math.floor(random() * accepted.length)] ?? '',
  )
  return readJobs(group, jobIds)
}

async function checkAccepted(group: ControlGroup): Promise<void> {
  const faults = await readJobs(group, group.accepted)
  group.faults.push(...faults.slice(0, 3))
}

async function readJobs(group: ControlGroup, jobIds: readonly string[]): Promise<string[]> {
  const waiting = new Map(jobIds.map((jobId) => [jobId, 'no answer']))
  const node = group.leader?.node
  for (const jobId of waiting.keys()) {
    void node?.calls
      .getJobState(group.callOf(jobId))
      .run()
      .then((outcome) => {
        if (outcome.isRight()) waiting.delete(jobId)
        else waiting.set(jobId, String(outcome.extract()))
      })
  }
  await group.clock.advance(answerMs)
  return [...waiting].map(([jobId, reason]) => `${jobId}: ${reason}`)
}
