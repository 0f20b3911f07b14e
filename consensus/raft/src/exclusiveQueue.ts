/** Runs tasks one at a time, in the order of the calls; a task that fails does not stop the next. */
export class ExclusiveQueue {
  #last: Promise<unknown> = Promise.resolve()

  run<T>(task: () => Promise<T>): Promise<T> {
    const result = this.#last.then(task)
    this.#last = result.catch(() => undefined)
    return result
  }
}
