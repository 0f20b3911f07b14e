/**
 * Decides who may call what. Callers present a key of their workspace's contract, operators and upstreams one of their key
 * files. A caller without a valid key gets the same error whether or not the workspace exists.
 */
import { identifierSchema } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import type { ClusterView } from '@nettlespur/entry.view'
import {
  createKey,
  createUnauthorizedError,
  hashKey,
  matchesAnyHash,
  readBearerKey,
} from '@nettlespur/net.keys'
import type { HttpRequest } from '@nettlespur/net.server'

/** Number of hashes that each check compares, so that its duration does not reveal how many keys there are. */
const comparedHashCount = 16
const workspaceHeader = 'nettlespur-workspace'

export interface AccessControlOptions {
  view: ClusterView
  keysRequired: boolean
  operatorKeys: readonly string[]
  upstreamKeys: readonly string[]
}

export class AccessControl {
  readonly #view: ClusterView
  readonly #keysRequired: boolean
  readonly #operatorHashes: readonly string[]
  readonly #upstreamHashes: readonly string[]
  readonly #decoys = Array.from({ length: comparedHashCount }, () => hashKey(createKey()))

  constructor(opts: AccessControlOptions) {
    this.#view = opts.view
    this.#keysRequired = opts.keysRequired
    this.#operatorHashes = opts.operatorKeys.map((key) => hashKey(key))
    this.#upstreamHashes = opts.upstreamKeys.map((key) => hashKey(key))
  }

  /** Throws `unauthorized` if the request has no key at all; call it before the body is read. */
  requireAnyKey(request: HttpRequest): void {
    if (this.#keysRequired && readKey(request) === undefined) throw createUnauthorizedError()
  }

  /** Throws `contract-lease-expired` or `unauthorized`, and `unknown-workspace` if no keys are required. */
  requireCaller(request: HttpRequest, workspace: string): void {
    const leaseError = this.#view.lease.getRefusal()
    if (leaseError !== undefined) throw leaseError
    const contract = this.#view.getContract(workspace)
    if (this.#keysRequired) this.#requireKey(request, contract?.keys.map((key) => key.sha256) ?? [])
    if (contract !== undefined) return
    throw new NettlespurError('unknown-workspace', `no contract for workspace ${workspace}`)
  }

  /** Returns the workspace that the header names, after checking the key. Throws also `invalid-field`. */
  requireNamedWorkspace(request: HttpRequest): string {
    this.requireAnyKey(request)
    const named = identifierSchema.safeParse(request.header(workspaceHeader))
    if (!named.success) {
      const message = 'the header Nettlespur-Workspace is missing or not a workspace name'
      throw new NettlespurError('invalid-field', message, { hint: 'Nettlespur-Workspace: NAME' })
    }
    this.requireCaller(request, named.data)
    return named.data
  }

  /** Throws `unauthorized` unless the key is an operator's. */
  requireOperator(request: HttpRequest): void {
    if (this.#keysRequired) this.#requireKey(request, this.#operatorHashes)
  }

  /** Throws `unauthorized` unless the key is an upstream's. */
  requireUpstream(request: HttpRequest): void {
    if (this.#keysRequired) this.#requireKey(request, this.#upstreamHashes)
  }

  #requireKey(request: HttpRequest, hashes: readonly string[]): void {
    const decoys = this.#decoys.slice(Math.min(hashes.length, comparedHashCount))
    if (!matchesAnyHash(readKey(request), [...hashes, ...decoys])) throw createUnauthorizedError()
  }
}

function readKey(request: HttpRequest): string | undefined {
  return readBearerKey(request.header('authorization'))
}
