/** A configuration of one service and a queue, with the fields of the users' pages. */

export const host = 'queue.example'
export const service = 'service-a'

export function createRoute(name, prefix, fields = {}) {
  return {
    name,
    host,
    'path-prefix': prefix,
    'route-type': 'non_idempotent',
    'timeout-ms': 3000,
    'target-latency-ms': 1000,
    priority: 1,
    service,
    'max-attempts': 3,
    stretch: 3,
    anonymous: false,
    ...fields,
  }
}

export function createConfiguration({ version = 1, routes, tenants, guards = true }) {
  return {
    version,
    routes: routes ?? [createRoute('queue-a', '/queue-a/')],
    services: [
      {
        name: service,
        'health-path': '/health',
        'max-conns': 64,
        protocol: 'h1',
        tls: false,
        'enforce-capacity': guards,
        standby: false,
      },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 262_144,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
    tenants: tenants ?? [
      { name: 'tenant-a', 'api-keys': ['key-of-tenant-a'], priority: 1, guaranteed: { gpu: 0 } },
    ],
  }
}

export function createJobId() {
  const digits = () =>
    Math.floor(Math.random() * 0x100000000)
      .toString(16)
      .padStart(8, '0')
  return digits() + digits()
}
