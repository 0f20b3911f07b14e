/** Finds the line that a path of a document stands on. */
import { isCollection, isMap, isNode, isPair, isScalar, type Node } from 'yaml'
import type { YamlSource } from './parseYaml.js'

/** The line of the deepest part of the path that the document has. */
export function locatePath(source: YamlSource, path: readonly PropertyKey[]): number {
  let node: Node | null = source.document.contents
  let offset = node?.range?.[0] ?? 0
  for (const step of path) {
    const child = findChild(node, step)
    if (child === undefined) break
    offset = child.offset
    node = child.node
  }
  return source.lines.linePos(offset).line
}

interface Child {
  readonly offset: number
  readonly node: Node | null
}

function findChild(parent: Node | null, step: PropertyKey): Child | undefined {
  if (!isCollection(parent)) return undefined
  const item = isMap(parent)
    ? parent.items.find((pair) => isScalar(pair.key) && String(pair.key.value) === String(step))
    : parent.items[Number(step)]
  if (isPair(item)) {
    const value = isNode(item.value) ? item.value : null
    return { offset: startOf(item.key) ?? startOf(value) ?? 0, node: value }
  }
  return isNode(item) ? { offset: startOf(item) ?? 0, node: item } : undefined
}

function startOf(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined
}
