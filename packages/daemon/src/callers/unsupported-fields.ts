/**
 * Fields of a chat completion request that change the meaning of the response
 * but are not supported. A request that uses one is rejected, because a
 * response that ignored the field would look valid but be wrong. Hints such as
 * `temperature` are ignored.
 */

/** Returns true for a value that has no effect, such as an empty list. */
type IsNeutralValue = (value: unknown) => boolean;

const isEmpty: IsNeutralValue = value =>
  Array.isArray(value) && value.length === 0;

const isOffOrNone: IsNeutralValue = value =>
  value === false || value === 'none';

const unsupportedFields: ReadonlyMap<string, IsNeutralValue> = new Map([
  ['n', value => value === 1],
  ['stop', isEmpty],
  ['tools', isEmpty],
  ['tool_choice', isOffOrNone],
  ['functions', isEmpty],
  ['function_call', isOffOrNone],
  ['response_format', value => typeField(value) === 'text'],
  ['logprobs', isOffOrNone],
  ['top_logprobs', value => value === 0],
  ['logit_bias', value => isObject(value) && Object.keys(value).length === 0],
  ['modalities', value => JSON.stringify(value) === '["text"]'],
  ['audio', () => false],
  ['prediction', () => false],
]);

/** Returns the name of the first unsupported field that `request` uses. */
export function findUnsupportedField(
  request: Readonly<Record<string, unknown>>,
): string | undefined {
  for (const [name, isNeutralValue] of unsupportedFields) {
    const value = request[name] ?? undefined;
    if (value !== undefined && !isNeutralValue(value)) return name;
  }
  return undefined;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function typeField(value: unknown): unknown {
  return isObject(value) ? value['type'] : undefined;
}
