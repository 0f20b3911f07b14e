/** Fills in the templates of `deploy/`, as far as they use placeholders and sections. */

function lookUp(scopes, name) {
  if (name === '.') return scopes.at(-1)
  const [first, ...rest] = name.split('.')
  const scope = scopes.findLast((one) => typeof one === 'object' && one !== null && first in one)
  return rest.reduce((value, part) => value?.[part], scope?.[first])
}

function renderPlaceholder(scopes, name) {
  const value = lookUp(scopes, name)
  return Array.isArray(value) ? value.join(',') : String(value ?? '')
}

function renderSection(scopes, name, body) {
  const value = lookUp(scopes, name)
  if (typeof value !== 'object' || value === null) {
    return value === undefined || value === false ? '' : render(body, scopes)
  }
  const entries = Object.entries(value)
  return entries
    .map(([key, entry], at) => {
      const comma = at === entries.length - 1 ? '' : ','
      const text = body.replaceAll('{{@}}', key).replaceAll('{{,}}', comma)
      return render(text, [...scopes, entry])
    })
    .join('')
}

function render(text, scopes) {
  return text
    .replace(/\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, body) =>
      renderSection(scopes, name, body),
    )
    .replace(/\{\{([^#/}][^}]*)\}\}/g, (_, name) => renderPlaceholder(scopes, name))
}

export function fillIn(template, fields) {
  return render(template, [fields])
}
