/** How far the leader knows one peer to be. */
import type { AppendAnswer } from './messages.js'

export class PeerProgress {
  /** The next entry to send. */
  nextIndex: number
  /** The last entry the peer is known to hold synced. */
  matchIndex = 0
  /** The disk it last answered from. */
  diskId: string | undefined
  /** When its last answer came. */
  lastAnswerMs: number
  /** When the newest request that it answered was sent. */
  ackedSentMs = -Infinity
  /** The number of that request. */
  ackedSequence = 0

  constructor(nextIndex: number, nowMs: number) {
    this.nextIndex = nextIndex
    this.lastAnswerMs = nowMs
  }

  /** What an older disk held says nothing of a new one. */
  recordAnswer(diskId: string, sent: { sequence: number; sentMs: number }, nowMs: number): void {
    if (this.diskId !== undefined && this.diskId !== diskId) this.matchIndex = 0
    this.diskId = diskId
    this.lastAnswerMs = nowMs
    this.ackedSentMs = Math.max(this.ackedSentMs, sent.sentMs)
    this.ackedSequence = Math.max(this.ackedSequence, sent.sequence)
  }

  applyAppendAnswer({ accepted, matchIndex }: AppendAnswer): void {
    if (accepted) {
      this.matchIndex = Math.max(this.matchIndex, matchIndex)
      this.nextIndex = matchIndex + 1
    } else {
      this.nextIndex = Math.max(1, Math.min(matchIndex + 1, this.nextIndex - 1))
    }
  }

  installed(snapshotIndex: number): void {
    this.matchIndex = Math.max(this.matchIndex, snapshotIndex)
    this.nextIndex = snapshotIndex + 1
  }
}
