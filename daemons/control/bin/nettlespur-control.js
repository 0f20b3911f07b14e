#!/usr/bin/env node
import { main } from '../lib/src/main.js'

await main(process.argv.slice(2))
