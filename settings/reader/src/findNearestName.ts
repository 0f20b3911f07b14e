/** Finds the known name that a misspelt one most likely stands for. */

/** Undefined where no known name is close: within a third of the given one's length, rounded up. */
export function findNearestName(given: string, known: readonly string[]): string | undefined {
  const furthest = Math.ceil(given.length / 3)
  let nearest: string | undefined
  let nearestEdits = furthest + 1
  for (const name of known) {
    const edits = countEdits(given.toLowerCase(), name.toLowerCase())
    if (edits >= nearestEdits) continue
    nearest = name
    nearestEdits = edits
  }
  return nearest
}

/** Levenshtein distance. */
function countEdits(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const replaced = at(previous, column - 1) + (left[row - 1] === right[column - 1] ? 0 : 1)
      const removed = at(previous, column) + 1
      const added = at(current, column - 1) + 1
      current.push(Math.min(replaced, removed, added))
    }
    previous = current
  }
  return at(previous, right.length)
}

function at(row: readonly number[], index: number): number {
  return row[index] ?? Number.POSITIVE_INFINITY
}
