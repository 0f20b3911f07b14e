/** Paths in a settings file are taken from the folder the file is in. */
import path from 'node:path'

/** An absolute path stays as it is. */
export function resolvePath(settingsFile: string, given: string): string {
  return path.resolve(path.dirname(settingsFile), given)
}
