//! Linear fits of a measured cost over a size.

/// A cost measured at three or more sizes, with the line fitted to it by least squares.
#[derive(Clone, Debug)]
pub struct Fit {
    /// Name of the measured cost.
    pub name: String,
    /// Unit of a size, such as `open task`.
    pub size_unit: &'static str,
    /// Unit of a cost, such as `B` or `us`.
    pub cost_unit: &'static str,
    points: Vec<Point>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    cost: f64,
    size: f64,
}

impl Fit {
    /// Measures the cost at each size, which is passed to `cost`.
    pub fn measure(
        name: &str,
        cost_unit: &'static str,
        size_unit: &'static str,
        sizes: &[usize],
        mut cost: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes.iter().map(|&size| Point { cost: cost(size), size: size as f64 });
        Self { name: name.into(), size_unit, points: points.collect(), cost_unit }
    }

    /// Returns the slope of the line: the additional cost of one unit of size.
    pub fn slope(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = self.points.iter().map(|p| p.cost).sum::<f64>() / count;
        let product = |p: &Point| (p.size - mean_size) * (p.cost - mean_cost);
        let square = |p: &Point| (p.size - mean_size).powi(2);
        self.points.iter().map(product).sum::<f64>() / self.points.iter().map(square).sum::<f64>()
    }

    /// Returns the intercept of the line: the cost at size zero.
    pub fn intercept(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = self.points.iter().map(|p| p.cost).sum::<f64>() / count;
        mean_cost - self.slope() * mean_size
    }

    /// Prints the measured points and the line as a row of a Markdown table.
    pub fn print(&self) {
        let points: Vec<String> =
            self.points.iter().map(|p| format!("{}: {:.1}", p.size, p.cost)).collect();
        println!(
            "| {} | {} | {:.1} {} + {:.3} {} per {} |",
            self.name,
            points.join(", "),
            self.intercept(),
            self.cost_unit,
            self.slope(),
            self.cost_unit,
            self.size_unit
        );
    }
}
