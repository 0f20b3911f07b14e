/** Plays one seed: a group, its troubles, and then calm. */
import { checkCalm } from './calmPromise.js'
import { ControlGroup } from './controlGroup.js'
import { GroupTrouble, troubleKinds, type TroubleKind } from './groupTrouble.js'

const troubled = { shortestMs: 4000, longestMs: 20_000 }
const troublesMax = 14
/** Days often end with one of these. */
const lastKinds: readonly TroubleKind[] = ['kill-all', 'power-all', 'power', 'stop', 'lose-disk']
const lastShare = 0.6

export interface PlayedGroup {
  readonly group: ControlGroup
  readonly readyAfterMs: number | undefined
}

export async function playGroup(
  seed: number,
  kinds: readonly TroubleKind[] = troubleKinds,
): Promise<PlayedGroup> {
  const group = await ControlGroup.found(seed)
  const trouble = new GroupTrouble(group)
  const { random, clock } = group
  const draw = (from: readonly TroubleKind[]): TroubleKind =>
    from[Math.floor(random() * from.length)] ?? 'kill'
  const troubledMs = troubled.shortestMs + random() * (troubled.longestMs - troubled.shortestMs)
  const count = 1 + Math.floor(random() * troublesMax)
  for (let made = 0; made < count; made++) {
    const kind = draw(kinds)
    clock.setTimer(random() * troubledMs, () => {
      trouble.apply(kind)
    })
  }
  await clock.advance(troubledMs)
  const endings = lastKinds.filter((kind) => kinds.includes(kind))
  if (random() < lastShare && endings.length > 0) trouble.apply(draw(endings))
  await clock.advance(random() * 3000)
  await trouble.calm()
  const { readyAfterMs } = await checkCalm(group)
  return { group, readyAfterMs }
}
