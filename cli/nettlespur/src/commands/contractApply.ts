/** `nettlespur contract apply FILE` */
import { randomUUID } from 'node:crypto'
import { contractSchema, idempotencyKeySchema, type Contract } from '@nettlespur/api.schemas'
import { contractViewSchema } from '@nettlespur/control.api'
import { NettlespurError, unwrapEither } from '@nettlespur/core.errors'
import { readSettingsFile } from '@nettlespur/settings.reader'
import { z } from 'zod'
import { createCliCommand } from '../cliCommand.js'
import { Cluster, type ClusterAnswer } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { printNote } from '../output.js'
import { printAnswer } from '../printAnswer.js'
import { readAs, readCount } from '../readArgs.js'
import { addResendHint } from '../resendHint.js'

/** Entries are told only where the cluster was asked to wait for them. */
const appliedSchema = contractViewSchema
  .partial({ inForceAt: true, notYetInForceAt: true })
  .extend({ inForce: z.boolean().optional() })
type Applied = z.infer<typeof appliedSchema>

/** What makes one change the same when it is sent again. */
interface ChangeIdentity {
  readonly revision: number
  readonly changeId: string
}

export const contractApplyCommand = createCliCommand({
  name: 'apply',
  description: 'Put a contract in place of the revision the operator saw',
  args: {
    file: { type: 'positional', description: 'Contract in YAML', required: true },
    revision: {
      type: 'string',
      description: 'Revision it replaces, 0 for a new contract; the current one where absent',
      valueHint: 'N',
    },
    'change-id': {
      type: 'string',
      description: 'Makes a resent change the same one; random where absent',
      valueHint: 'ID',
    },
    wait: {
      type: 'enum',
      description: 'Answer only when the change is in force at every entry',
      options: ['in-force'],
    },
    ...commonArgs,
  },
  examples: [
    'nettlespur contract apply demo.yaml --wait in-force',
    'nettlespur contract apply demo.yaml --revision 3 --change-id raise-demo-1',
  ],
  run: async ({ args }) => {
    const contract = unwrapEither(readSettingsFile({ file: args.file, schema: contractSchema }))
    const changeId = readAs('--change-id', idempotencyKeySchema, args['change-id'] ?? randomUUID())
    const given = args.revision === undefined ? undefined : readCount('--revision', args.revision)
    const cluster = new Cluster(args)
    const revision = given ?? (await readRevision(cluster, contract.workspace))
    const identity = { revision, changeId }
    if (args['change-id'] === undefined) printNote({ changeId, revision: String(revision) })
    const query = args.wait === undefined ? '' : `?wait=${args.wait}`
    const answer = await apply(cluster, contract, identity, query).catch((thrown: unknown) => {
      throw addResendHint(thrown, formatResend(args.file, identity))
    })
    printAnswer(cluster, answer, formatApplied)
    if (args.wait !== undefined && answer.value.inForce !== true)
      throw createNotInForceError(contract)
  },
})

/** 0 where the workspace has no contract yet. */
async function readRevision(cluster: Cluster, workspace: string): Promise<number> {
  const path = `/v1/contracts/${encodeURIComponent(workspace)}`
  try {
    const answer = await cluster.callFor(contractViewSchema, { method: 'GET', path })
    return answer.value.revision
  } catch (thrown) {
    if (thrown instanceof NettlespurError && thrown.kind === 'unknown-workspace') return 0
    throw thrown
  }
}

function apply(
  cluster: Cluster,
  contract: Contract,
  identity: ChangeIdentity,
  query: string,
): Promise<ClusterAnswer<Applied>> {
  return cluster.callFor(appliedSchema, {
    method: 'PUT',
    path: `/v1/contracts/${encodeURIComponent(contract.workspace)}${query}`,
    headers: { 'if-match': String(identity.revision), 'idempotency-key': identity.changeId },
    json: contract,
  })
}

/** The change stands; only where it is in force is not known. */
function createNotInForceError({ workspace }: Contract): NettlespurError {
  const message = 'the change is accepted, but it is not known to be in force everywhere'
  const hint = `see where it is in force with: nettlespur contract get ${workspace}`
  return new NettlespurError('outcome-unknown', message, { hint })
}

function formatResend(file: string, identity: ChangeIdentity): string {
  const again = `nettlespur contract apply ${file} --revision ${identity.revision} --change-id ${identity.changeId}`
  return `the change may be accepted; resend it safely with: ${again}`
}

function formatApplied(applied: Applied): string {
  const head = `${applied.contract.workspace} revision ${applied.revision} accepted`
  if (applied.inForceAt === undefined) return head
  const pending = applied.notYetInForceAt ?? []
  const rest = pending.length === 0 ? '' : `, not yet at ${pending.join(', ')}`
  return `${head}, in force at ${applied.inForceAt.join(', ') || 'no entry'}${rest}`
}
