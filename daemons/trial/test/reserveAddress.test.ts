/** Addresses for the processes of a trial. */
import test from 'ava'
import { pickLoopbackHost, reserveAddress } from '../__utils__/index.js'

/** Enough for the system to give some port out twice: six of one host were not all different in 2 of 1,000 trials. */
const reservations = 3000

test('no address is given out twice, however many are asked for', async (t) => {
  const host = pickLoopbackHost()
  const addresses = new Set<string>()
  for (let at = 0; at < reservations; at++) addresses.add(await reserveAddress(host))
  t.is(addresses.size, reservations)
})
