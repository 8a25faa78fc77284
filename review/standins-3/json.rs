//! A small JSON parser, enough for the calls that the store gets.

#[derive(Debug, Clone)]
pub enum Value {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Value] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Value> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Value::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(b, at)?;
                        space(b, at);
                        *at += 1;
                        fields.push((name, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Value::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
        }
        b'"' => string(b, at).map(Value::Text),
        _ => {
            let start = *at;
            while b.get(*at).is_some_and(|c| !matches!(c, b',' | b'}' | b']') && !c.is_ascii_whitespace()) {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[start..*at]).ok()?;
            Some(text.parse().map_or(Value::Other, Value::Number))
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                bytes.push(*b.get(*at + 1)?);
                *at += 2;
            }
            c => {
                bytes.push(c);
                *at += 1;
            }
        }
    }
}
