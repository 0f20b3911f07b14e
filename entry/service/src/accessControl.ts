/**
 * Who may call what. Callers show a key of their workspace's contract; operators and upstreams one of
 * their key file. Without a right key nobody learns which workspaces exist.
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

/** Each check compares this many hashes, so that its time does not tell how many keys there are. */
const comparedHashes = 16
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
  readonly #decoys = Array.from({ length: comparedHashes }, () => hashKey(createKey()))

  constructor(opts: AccessControlOptions) {
    this.#view = opts.view
    this.#keysRequired = opts.keysRequired
    this.#operatorHashes = opts.operatorKeys.map((key) => hashKey(key))
    this.#upstreamHashes = opts.upstreamKeys.map((key) => hashKey(key))
  }

  /** Throws `unauthorized` before anything of a request is read, where it shows no key at all. */
  requireAnyKey(request: HttpRequest): void {
    if (this.#keysRequired && readKey(request) === undefined) throw createUnauthorizedError()
  }

  /** Throws `contract-lease-expired`, `unauthorized`, or `unknown-workspace` where no keys are required. */
  requireCaller(request: HttpRequest, workspace: string): void {
    const lapsed = this.#view.lease.getRefusal()
    if (lapsed !== undefined) throw lapsed
    const contract = this.#view.getContract(workspace)
    if (this.#keysRequired) this.#requireKey(request, contract?.keys.map((key) => key.sha256) ?? [])
    if (contract !== undefined) return
    throw new NettlespurError('unknown-workspace', `no contract for workspace ${workspace}`)
  }

  /** The workspace named by the header, once its key has been checked. Throws also `invalid-field`. */
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

  /** Throws `unauthorized`. */
  requireOperator(request: HttpRequest): void {
    if (this.#keysRequired) this.#requireKey(request, this.#operatorHashes)
  }

  /** Throws `unauthorized`. */
  requireUpstream(request: HttpRequest): void {
    if (this.#keysRequired) this.#requireKey(request, this.#upstreamHashes)
  }

  #requireKey(request: HttpRequest, hashes: readonly string[]): void {
    const decoys = this.#decoys.slice(Math.min(hashes.length, comparedHashes))
    if (!matchesAnyHash(readKey(request), [...hashes, ...decoys])) throw createUnauthorizedError()
  }
}

function readKey(request: HttpRequest): string | undefined {
  return readBearerKey(request.header('authorization'))
}
