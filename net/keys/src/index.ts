/** Bearer keys: creation, key files and comparison in constant time. */
export {
  createKey,
  createUnauthorizedError,
  formatBearerKey,
  hashKey,
  matchesAnyHash,
  readBearerKey,
} from './bearerKey.js'
export { readKeyFile } from './readKeyFile.js'
