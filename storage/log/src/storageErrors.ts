/** The errors of the store, each naming the file it is about. */
import { NettlespurError } from '@nettlespur/core.errors'

/** What the disk holds is not what was written. */
export function damagedError(file: string, offsetBytes: number, reason: string): NettlespurError {
  return new NettlespurError('storage-damaged', `${file} at byte ${offsetBytes}: ${reason}`, {
    hint: 'Do not repair the file. Move the folder away and let this instance join as a new learner.',
  })
}

/** Turns what a file operation threw into `disk-full` or `storage-failed`. */
export function toStorageError(thrown: unknown): NettlespurError {
  if (thrown instanceof NettlespurError) return thrown
  const { code, message } = thrown as NodeJS.ErrnoException
  const kind = code === 'ENOSPC' || code === 'EDQUOT' ? 'disk-full' : 'storage-failed'
  return new NettlespurError(kind, message, { cause: thrown })
}

/** `storage-failed` whatever the reason: what is on the disk now is not known, so it must not be gone on from. */
export function toUnrecoverableError(thrown: unknown): NettlespurError {
  const { kind, message } = toStorageError(thrown)
  if (kind === 'storage-damaged') return toStorageError(thrown)
  return new NettlespurError('storage-failed', message, { cause: thrown })
}

/** These are faults of the caller, not of the disk. */
export function assertValidCall(condition: boolean, reason: string): void {
  if (!condition) throw new NettlespurError('internal', reason)
}
