/** Labels and the selectors that tie documents together. */

import type {LabelRequirement, Selector} from './generated/documents.js';

/** Labels of a document. */
export type Labels = Readonly<Record<string, string>>;

/** True when all requirements of `selector` hold; an empty one matches all. */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  const wanted = Object.entries(selector.matchLabels ?? {});
  return (
    wanted.every(([key, value]) => labels[key] === value) &&
    (selector.matchExpressions ?? []).every(requirement =>
      matchesRequirement(requirement, labels),
    )
  );
}

function matchesRequirement(
  requirement: LabelRequirement,
  labels: Labels,
): boolean {
  const value = labels[requirement.key];
  switch (requirement.operator) {
    case 'In':
      return value !== undefined && requirement.values.includes(value);
    case 'NotIn':
      return value === undefined || !requirement.values.includes(value);
    case 'Exists':
      return value !== undefined;
    case 'DoesNotExist':
      return value === undefined;
  }
}
