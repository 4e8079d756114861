/** Labels of documents, and the selectors that match them. */

import type {LabelRequirement, Selector} from './generated/documents.js';

/** Label values of a document by label name. */
export type Labels = Readonly<Record<string, string>>;

/**
 * Whether `labels` satisfies every requirement of `selector`. An empty selector
 * matches all labels.
 */
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
