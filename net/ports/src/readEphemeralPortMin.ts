/** The lowest of the ports that the operating system assigns by itself to sockets that name none. */
import { readFile } from 'node:fs/promises'

const rangeFile = '/proc/sys/net/ipv4/ip_local_port_range'
/** For systems without this file: below the ranges that are in use. */
const usualMin = 32_768

export async function readEphemeralPortMin(): Promise<number> {
  try {
    const [min] = (await readFile(rangeFile, 'utf8')).trim().split(/\s+/)
    return Number(min)
  } catch {
    return usualMin
  }
}
