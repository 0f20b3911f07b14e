/** Replication progress of one peer, as its leader knows it. */
import type { AppendAnswer } from './messages.js'

export class PeerProgress {
  /** The next entry to send. */
  nextIndex: number
  /** The last index that the peer is known to have synced. */
  matchIndex = 0
  /** ID of the disk that the peer last answered from; undefined before its first answer. */
  diskId: string | undefined
  /** When the peer's last answer arrived; before the first answer, when replication to it started. */
  lastAnswerMs: number
  /** When the newest answered request was sent. */
  ackedSentMs = -Infinity
  /** The sequence number of that request. */
  ackedSequence = 0

  constructor(nextIndex: number, nowMs: number) {
    this.nextIndex = nextIndex
    this.lastAnswerMs = nowMs
  }

  /** Resets `matchIndex` if the peer answers from another disk, which need not hold the same entries. */
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
