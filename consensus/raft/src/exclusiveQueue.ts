/** Runs tasks one after the other, in the order they came. */
export class ExclusiveQueue {
  #last: Promise<unknown> = Promise.resolve()

  run<T>(task: () => Promise<T>): Promise<T> {
    const result = this.#last.then(task)
    this.#last = result.catch(() => undefined)
    return result
  }
}
