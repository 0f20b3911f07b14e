/** Members of control for people. */
import type { MemberView } from '@nettlespur/control.api'
import { formatTable } from './formatTable.js'

const headings = ['MEMBER', 'ROLE', 'PEER ADDRESS', 'DATA CENTRE', 'LAG ENTRIES', 'SILENT MS']

export function formatMembers(members: readonly MemberView[]): string {
  const rows = members.map((member) => [
    member.memberId,
    member.role,
    member.peerAddress,
    member.dataCentre,
    member.lagEntries,
    member.silentMs,
  ])
  return formatTable(headings, rows)
}
