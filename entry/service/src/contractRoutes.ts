/** Routes with which operators change contracts by compare-and-set, and see at which entries each is in force. */
import {
  contractSchema,
  idempotencyKeySchema,
  identifierSchema,
  type ContractChange,
} from '@nettlespur/api.schemas'
import { NettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import { askControl } from './askControl.js'
import { awaitInForce } from './awaitInForce.js'
import type { EntryContext } from './entryContext.js'
import { readHeader, readParam, readQuery, readWholeNumber, requireHeader } from './readParts.js'

const revisionHint = 'If-Match: the revision you saw, 0 for a new contract'
const changeIdHint = 'Idempotency-Key: a fresh id for this change, the same when it is sent again'
const inForce = 'in-force'

export function createContractRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'PUT',
      path: '/v1/contracts/:workspace',
      handle: (request) => tryAsync(() => putContract(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/contracts',
      handle: (request) => tryAsync(() => listContracts(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/contracts/:workspace',
      handle: (request) => tryAsync(() => getContract(context, request)),
    },
  ]
}

async function putContract(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const shouldWait = readShouldWait(request)
  const change = await readChange(request)
  const record = await askControl({ clock: context.clock, effect: 'idempotent' }, () =>
    context.control.applyContract(change),
  )
  context.logger.info({
    event: 'contract.accepted',
    workspace: record.contract.workspace,
    revision: record.revision,
    changeIndex: record.changeIndex,
    changeId: change.changeId,
  })
  if (!shouldWait) return { status: 200, json: record }
  const status = await awaitInForce(context, record, request.callerGone)
  return { status: 200, json: { ...record, ...status } }
}

async function listContracts(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const contracts = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.listContracts(),
  )
  return { status: 200, json: { contracts } }
}

async function getContract(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const workspace = readParam(request, 'workspace', identifierSchema)
  const [view] = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.listContracts(workspace),
  )
  if (view !== undefined) return { status: 200, json: view }
  throw new NettlespurError('unknown-workspace', `no contract for workspace ${workspace}`)
}

async function readChange(request: HttpRequest): Promise<ContractChange> {
  const workspace = readParam(request, 'workspace', identifierSchema)
  const expectedRevision = readRevision(request)
  requireHeader(request, 'idempotency-key', changeIdHint)
  const changeId = readHeader(request, 'idempotency-key', idempotencyKeySchema) ?? ''
  const contract = await unwrap(request.readJson(contractSchema))
  if (contract.workspace !== workspace) {
    const message = `workspace: is ${contract.workspace} in the body and ${workspace} in the path`
    throw new NettlespurError('invalid-field', message)
  }
  return { changeId, expectedRevision, contract }
}

/** Returns the revision in `If-Match`, which may be quoted. */
function readRevision(request: HttpRequest): number {
  const text = requireHeader(request, 'if-match', revisionHint)
  return readWholeNumber('header if-match', text.replace(/^"(.*)"$/, '$1')) ?? 0
}

/** Whether the caller waits until the change is in force. */
function readShouldWait(request: HttpRequest): boolean {
  const wait = readQuery(request, 'wait')
  if (wait === undefined || wait === inForce) return wait === inForce
  throw new NettlespurError('invalid-field', `query wait: must be ${inForce} or absent`)
}
