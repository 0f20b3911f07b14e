/** Runs a clean-up once the answer has arrived or failed; if its body is a stream, once that has ended or was cut. */
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
