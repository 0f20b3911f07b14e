/** What the parent tells a peer process, and what that answers. */
import type { Usage } from '../readUsage.js'
import type { TransportKind } from './transportKind.js'

export type PeerOrder =
  | { readonly type: 'serve'; readonly kind: TransportKind; readonly peerKey: string }
  | {
      readonly type: 'call'
      readonly kind: TransportKind
      readonly peerKey: string
      readonly address: string
      readonly upstreams: number
    }
  | { readonly type: 'load'; readonly callsPerBurst: number; readonly seconds: number }
  | { readonly type: 'sample' }

export interface PeerAnswer {
  readonly address?: string
  readonly usage?: Usage
  readonly bytes?: number
}
