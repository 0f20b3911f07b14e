/** Prints an answer of the cluster: its own JSON, or a form for people. */
import type { Cluster, ClusterAnswer } from './cluster.js'
import { printText } from './output.js'

export function printAnswer<T>(
  cluster: Cluster,
  answer: ClusterAnswer<T>,
  format: (value: T) => string,
): void {
  printText(cluster.json ? answer.text : format(answer.value))
}
