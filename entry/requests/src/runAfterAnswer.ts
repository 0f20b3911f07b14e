/** Runs a clean-up when an answer is there, and where it is a stream, when that has ended or was cut. */
import { Readable, finished } from 'node:stream'

export function runAfterAnswer<T>(
  answer: Promise<T>,
  readBody: (answer: T) => Buffer | Readable | undefined,
  run: () => void,
): void {
  answer.then((given) => {
    const body = readBody(given)
    if (body instanceof Readable) finished(body, run)
    else run()
  }, run)
}
