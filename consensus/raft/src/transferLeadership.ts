/** Hands the leadership to the voter that is furthest on, before a planned stop. */
import { startWith } from 'rxjs'
import type { Leader } from './leader.js'
import { isVoter, type Member } from './member.js'
import { waitFor } from './waitFor.js'

/** True once this instance leads no more. Until then, or until it gives up, nothing new is taken. */
export async function transferLeadership<R>(leader: Leader<R>): Promise<boolean> {
  const target = pickTarget(leader)
  if (target === undefined) return false
  const { replica } = leader
  leader.transferring = true
  const done = await tryToTransfer(leader, target)
  leader.transferring = false
  const { logger } = replica.opts
  logger.info({ event: 'raft.leadership-transfer', to: target.memberId, done })
  return done
}

function pickTarget<R>(leader: Leader<R>): Member | undefined {
  const { membership, memberId: ownId, opts, clock } = leader.replica
  const lag = ({ memberId }: Member): number => -(leader.getProgress(memberId)?.matchIndex ?? 0)
  const answers = ({ memberId }: Member): boolean => {
    const heardMs = leader.getProgress(memberId)?.heardMs ?? -Infinity
    return clock.monotonicMs() - heardMs < opts.timings.electionTimeoutMs
  }
  return membership.members
    .filter(({ memberId }) => memberId !== ownId && isVoter(membership, memberId))
    .filter((member) => leader.counts(member.memberId) && answers(member))
    .sort((left, right) => lag(left) - lag(right))[0]
}

async function tryToTransfer<R>(leader: Leader<R>, target: Member): Promise<boolean> {
  const { replica, term, ended: signal } = leader
  const { clock, log, opts, memberId: leaderId, standing } = replica
  const timeoutMs = opts.timings.electionTimeoutMs
  const answers = leader.answers.pipe(startWith(undefined))
  const isLevel = (): boolean => leader.getProgress(target.memberId)?.matchIndex === log.lastIndex
  if (!(await waitFor(clock, answers, isLevel, { timeoutMs, signal }))) return signal.aborted
  leader.mayHoldLease = false
  try {
    await opts.transport.timeoutNow(target, { term, leaderId })
  } catch {
    return signal.aborted
  }
  const isOver = ({ role }: { role: string }): boolean => role !== 'leader'
  return waitFor(clock, standing, isOver, { timeoutMs })
}
