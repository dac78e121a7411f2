//! Linear regression.

use sycamore_bench::fleet::slopes::Line;

#[test]
fn fit_exact() {
    let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.intercept - 3.0).abs() < 1e-9);
    assert!((line.slope - 2.0).abs() < 1e-9);
    assert!(line.residual_std_dev < 1e-9);
}

#[test]
fn fit_scattered() {
    let line = Line::fit(&[(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)]);
    assert!(line.slope.abs() < 1e-9);
    assert!((line.residual_std_dev - 2.0_f64.sqrt()).abs() < 1e-9);
}
