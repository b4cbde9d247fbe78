"""Least squares over a few terms."""

from __future__ import annotations


def fit(rows: list[list[float]], values: list[float]) -> list[float]:
    """Return the factors of the terms in ``rows`` that come nearest to ``values``."""
    size = len(rows[0])
    matrix = [
        [sum(row[i] * row[j] for row in rows) for j in range(size)]
        + [sum(row[i] * value for row, value in zip(rows, values, strict=True))]
        for i in range(size)
    ]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(matrix[k][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for k in range(size):
            if k != i:
                factor = matrix[k][i] / matrix[i][i]
                matrix[k] = [a - factor * b for a, b in zip(matrix[k], matrix[i], strict=True)]
    return [matrix[i][size] / matrix[i][i] for i in range(size)]
