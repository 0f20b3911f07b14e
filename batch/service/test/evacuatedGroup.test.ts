/**
 * Guards against evacuations that are lost, or come back, as members are killed, lose power and disks, freeze and are cut
 * off: what was acknowledged last is in force once the faults have ended.
 */
import test, { type ExecutionContext } from 'ava'
import {
  GroupOperator,
  platformElectionTimeoutMs,
  simulateGroup,
} from '../__utils__/group/index.js'

/** `CALM_SEEDS=N` runs N seeds, the first of which is `CALM_FROM`. */
const seedCount = Number(process.env.CALM_SEEDS ?? 4)
const fromSeed = Number(process.env.CALM_FROM ?? 1)

async function assertHolds(t: ExecutionContext, seed: number): Promise<number> {
  const operators: GroupOperator[] = []
  const { group } = await simulateGroup(seed, {
    electionTimeoutMs: platformElectionTimeoutMs,
    onStarted: (started) => operators.push(new GroupOperator(started, seed)),
  })
  const violations = (await operators[0]?.finish()) ?? []
  const report = violations.length === 0 ? '' : [...group.trace, group.describe()].join('\n')
  t.deepEqual(violations, [], `seed ${seed}\n${report}`)
  return operators[0]?.orderCount ?? 0
}

test('after any schedule of faults, the last acknowledged order for each data centre is in force', async (t) => {
  let orderCount = 0
  for (let seed = fromSeed; seed < fromSeed + seedCount; seed++)
    orderCount += await assertHolds(t, seed)
  t.true(orderCount > 10 * seedCount, `${orderCount} orders`)
})
