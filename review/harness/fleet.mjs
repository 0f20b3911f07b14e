/** A pool of workers behind links, which announce themselves, and the configuration that names them. */
import { Link } from './link.mjs'
import { Worker } from './worker.mjs'
import { sleep } from './http.mjs'

/** As a worker of the deployment: 128 cores, 256 GB, 8 accelerators. */
const capacity = { cpu: 128_000, 'mem-mb': 262_144, gpu: 8 }

export function createConfig(routes = [{ name: 'q', prefix: '/q/', priority: 1 }], tenants = []) {
  return {
    routes: routes.map(({ name, prefix, priority, anonymous = true }) => ({
      name,
      host: 'review.example',
      'path-prefix': prefix,
      'route-type': 'non_idempotent',
      'timeout-ms': 3000,
      'target-latency-ms': 1000,
      priority,
      service: 'pool',
      'max-attempts': 3,
      stretch: 3,
      anonymous,
    })),
    services: [
      {
        name: 'pool',
        'health-path': '/health',
        'max-conns': 64,
        protocol: 'h1',
        tls: false,
        'enforce-capacity': true,
        standby: false,
      },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 262_144,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
    tenants,
  }
}

/**
 * Opens workers `w1`, `w2` and so on. Each is called through a link of its own, and `uplinks` gives some of them a link for
 * their own calls to control too.
 */
export async function openFleet({
  system,
  record,
  own,
  count,
  perRack = 6,
  jobs,
  uplinkTo,
  onRun,
}) {
  const members = []
  for (let at = 0; at < count; at++) {
    const id = `w${at + 1}`
    const uplink = uplinkTo?.(id) === undefined ? undefined : await Link.open(uplinkTo(id))
    const labels = ['a', `r${Math.floor(at / perRack)}`]
    const options = { id, record, jobs, capacity, labels, uplink: uplink?.address, onRun }
    const worker = await Worker.open(options)
    const link = await Link.open(worker.localAddress)
    const member = { id, worker, link, uplink, options, lives: 1 }
    own({
      close: async () => {
        member.worker.end()
        await link.close()
        await uplink?.close()
      },
    })
    members.push(member)
    announceUntilOver(member, system)
  }
  return members
}

async function announceUntilOver(member, system) {
  const { worker } = member
  while (worker.isUp) {
    if (member.isCutOff !== true) await worker.announceOnce(member.link.address, system.controls)
    await sleep(1500)
  }
}

/** Cuts workers off from all machines; calls to them are reset and refused, and they announce nothing. They run on. */
export async function cutOff(members, mode) {
  for (const member of members) {
    member.isCutOff = true
    await member.link.setMode(mode)
  }
}

export async function rejoin(members) {
  for (const member of members) {
    member.isCutOff = false
    await member.link.setMode('open')
  }
}

/** The worker's process ends; after `downMs` another one, with an id of its own, starts at the same address. */
export async function restartCrashed(member, { downMs, system, record }) {
  const { worker: former, options, link } = member
  former.end()
  await link.setMode('refused')
  await sleep(downMs)
  member.lives += 1
  const worker = await Worker.open({ ...options, id: `${member.id}-life${member.lives}` })
  worker.runs = former.runs
  member.worker = worker
  link.retarget(worker.localAddress)
  await link.setMode('open')
  record.note(`${worker.id} has started at the address of ${former.id}`)
  announceUntilOver(member, system)
}
