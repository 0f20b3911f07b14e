/** Errors of the log store. */
import { NettlespurError } from '@nettlespur/core.errors'

/** Creates the error for file contents that differ from what was written. */
export function damagedError(file: string, offsetBytes: number, reason: string): NettlespurError {
  return new NettlespurError('storage-damaged', `${file} at byte ${offsetBytes}: ${reason}`, {
    hint: 'Do not repair the file. Move the folder away and let this instance join as a new learner.',
  })
}

/** Converts an error of a file operation into `disk-full` or `storage-failed`. */
export function toStorageError(thrown: unknown): NettlespurError {
  if (thrown instanceof NettlespurError) return thrown
  const { code, message } = thrown as NodeJS.ErrnoException
  const kind = code === 'ENOSPC' || code === 'EDQUOT' ? 'disk-full' : 'storage-failed'
  return new NettlespurError(kind, message, { cause: thrown })
}

/**
 * Converts any error but `storage-damaged` into `storage-failed`, also a full disk: the contents of the disk are
 * unknown, so no write may follow.
 */
export function toUnrecoverableError(thrown: unknown): NettlespurError {
  const { kind, message } = toStorageError(thrown)
  if (kind === 'storage-damaged') return toStorageError(thrown)
  return new NettlespurError('storage-failed', message, { cause: thrown })
}

/** Throws an `internal` error if the caller broke a precondition; used for faults of the caller, not of the disk. */
export function assertValidCall(condition: boolean, reason: string): void {
  if (!condition) throw new NettlespurError('internal', reason)
}
