/** The workspaces of a deployment, and which part of all jobs each of them sends. */
import type { Deployment } from './deployment.js'

/** Names with shares, which add up to 1; the largest first. */
export function listWorkspaces({
  workspaceCount,
  workspaceSkew = 0,
}: Deployment): (readonly [string, number])[] {
  const weights = Array.from({ length: workspaceCount }, (_, at) => (at + 1) ** -workspaceSkew)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map((weight, at) => [`workspace-${at}`, weight / total] as const)
}
