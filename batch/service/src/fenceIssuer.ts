/** Issues the fencing tokens of one leader: each is above those before, and above those of earlier terms. */

/** A leader issues fewer tokens than this, so that those of the next term are higher. */
const fencesPerTerm = 2 ** 24

export class FenceIssuer {
  readonly #term: number
  #issued = 0

  constructor(term: number) {
    this.#term = term
  }

  issue(): number {
    this.#issued = Math.min(this.#issued + 1, fencesPerTerm - 1)
    return this.#term * fencesPerTerm + this.#issued
  }
}
