/** Key files and constant-time comparison of bearer keys. */
export {
  createKey,
  createUnauthorizedError,
  formatBearerKey,
  hashKey,
  matchesAnyHash,
  readBearerKey,
} from './bearerKey.js'
export { readKeyFile } from './readKeyFile.js'
