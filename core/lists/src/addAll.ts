/** Appends items to a list in place. */
export function addAll<T>(list: T[], items: Iterable<T>): void {
  for (const item of items) list.push(item)
}
