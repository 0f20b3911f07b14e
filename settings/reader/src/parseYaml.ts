/**
 * Parses one YAML document and keeps the position of each node. Whatever could make the file mean other
 * than it reads is refused: duplicate keys, aliases, unknown tags, a second document.
 */
import { Left, Right, type Either } from 'purify-ts'
import { LineCounter, parseDocument, visit, type Document, type YAMLError } from 'yaml'
import type { SettingsFault } from './settingsFault.js'

const longestText = 1_048_576
/** One slip of syntax can bring many others after it: only the first ones are told. */
const mostSyntaxFaults = 10

export interface YamlSource {
  readonly document: Document.Parsed
  /** The whole document as plain values. */
  readonly value: unknown
  readonly lines: LineCounter
}

export function parseYaml(text: string): Either<readonly SettingsFault[], YamlSource> {
  if (text.length > longestText) {
    return Left([{ path: '', line: 1, problem: `longer than ${longestText} characters` }])
  }
  const lines = new LineCounter()
  try {
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false })
    const faults = [...listSyntaxFaults(document, text, lines), ...listAliases(document, lines)]
    return faults.length === 0
      ? Right({ document, value: document.toJS() as unknown, lines })
      : Left(faults)
  } catch (cause) {
    const problem = cause instanceof Error ? cause.message : String(cause)
    return Left([{ path: '', line: 1, problem: `cannot be parsed: ${problem}` }])
  }
}

function listSyntaxFaults(
  document: Document.Parsed,
  text: string,
  lines: LineCounter,
): SettingsFault[] {
  const told = [...document.errors, ...document.warnings].slice(0, mostSyntaxFaults)
  return told.map((error) => toFault(error, text, lines))
}

function toFault(error: YAMLError, text: string, lines: LineCounter): SettingsFault {
  const [start] = error.pos
  const { line, col } = lines.linePos(start)
  if (error.code !== 'DUPLICATE_KEY') {
    return { path: '', line, problem: `column ${col}: ${error.message}` }
  }
  const key = /^[^\s:]+/.exec(text.slice(start))?.[0] ?? ''
  return { path: key, line, problem: 'this key already stands above in the same mapping' }
}

function listAliases(document: Document.Parsed, lines: LineCounter): SettingsFault[] {
  const faults: SettingsFault[] = []
  visit(document, {
    Alias(_, alias) {
      const { line } = lines.linePos(alias.range?.[0] ?? 0)
      faults.push({ path: '', line, problem: `the alias *${alias.source}`, allowed: 'no aliases' })
    },
  })
  return faults
}
